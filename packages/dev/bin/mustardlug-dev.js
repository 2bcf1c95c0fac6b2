#!/usr/bin/env node
/** Starts the stand-ins or the demo. Stands outside the build, so that installing can link it. */

import '../dist/src/mustardlug_dev.js';
