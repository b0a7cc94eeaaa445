#!/usr/bin/env node
/**
 * Entry point of the `hemlockarch` binary.
 */
import process from 'node:process';
import * as run from './run.js';

process.exitCode = await run.runCommandLine(process.argv.slice(2));
