#!/usr/bin/env node
/** Starts the entry process. Stands outside the build, so that installing can link it. */

import '../dist/src/mustardlug_entry.js';
