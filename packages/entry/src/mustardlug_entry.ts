#!/usr/bin/env node
/**
 * Entry point of the entry process. SIGHUP must not end a process that is starting, and
 * loading the program is most of a start, so that the signal is handled before.
 */

import {ignoreHangups} from '@mustardlug/runtime/hangup_signal';

ignoreHangups();
await import('./entry_program.js');
