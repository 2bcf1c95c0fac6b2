#!/usr/bin/env node
/** Starts the scheduler process. Stands outside the build, so that installing can link it. */

import '../dist/src/mustardlug_scheduler.js';
