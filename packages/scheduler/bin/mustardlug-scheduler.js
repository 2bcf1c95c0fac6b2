#!/usr/bin/env node
/**
 * Starts the scheduler process. This file is not build output, so that `npm install`
 * can link it before the build.
 */

import '../dist/src/mustardlug_scheduler.js';
