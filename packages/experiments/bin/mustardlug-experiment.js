#!/usr/bin/env node
/** Entry point of the command. Not a build output, so that npm can link it before the first build. */

import '../dist/src/mustardlug_experiment.js';
