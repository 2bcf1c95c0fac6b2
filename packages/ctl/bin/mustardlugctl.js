#!/usr/bin/env node
/** Starts the operators' command line. Stands outside the build, so that installing can link it. */

import '../dist/src/mustardlugctl.js';
