/**
 * Clipanion's option declarations under the names that the house style asks of functions.
 */
import * as clipanion from 'clipanion';

export const buildText = clipanion.Option.String;
export const buildList = clipanion.Option.Array;
export const buildFlag = clipanion.Option.Boolean;
export const buildRest = clipanion.Option.Rest;
export const buildUsage = clipanion.Command.Usage;
