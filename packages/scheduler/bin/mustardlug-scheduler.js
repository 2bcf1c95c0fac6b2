#!/usr/bin/env node
/** Starts the scheduler process. This file is not built, so npm can link it before the first build. */

import '../dist/src/mustardlug_scheduler.js';
