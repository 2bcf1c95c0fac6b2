#!/usr/bin/env node
/**
 * Starts `mustardlugctl`. This file is not build output, so that `npm install`
 * can link it before the build.
 */

import '../dist/src/mustardlugctl.js';
