#!/usr/bin/env node
/** Launcher of mustardlug-dev. It is not built, so that npm can link it before the first build. */

import '../dist/src/mustardlug_dev.js';
