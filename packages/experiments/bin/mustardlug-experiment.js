#!/usr/bin/env node
/** Starts an experiment. Stands outside the build, so that installing can link it. */

import '../dist/src/mustardlug_experiment.js';
