#!/usr/bin/env node
/**
 * Starts the entry process. This file is not build output, so that `npm install`
 * can link it before the build.
 */

import '../dist/src/mustardlug_entry.js';
