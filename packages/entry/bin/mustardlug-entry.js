#!/usr/bin/env node
/** Starts the entry process. This file is not built, so npm can link it before the first build. */

import '../dist/src/mustardlug_entry.js';
