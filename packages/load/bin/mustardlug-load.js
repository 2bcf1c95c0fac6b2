#!/usr/bin/env node
/** Starts the load tool. Stands outside the build, so that installing can link it. */

import '../dist/src/mustardlug_load.js';
