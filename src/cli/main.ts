#!/usr/bin/env node
/**
 * The `hemlockarch` binary.
 */
import process from 'node:process';
import * as run from './run.js';

process.exitCode = await run.runCommandLine(process.argv.slice(2));
