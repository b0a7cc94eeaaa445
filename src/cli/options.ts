/**
 * Clipanion's option declarations, under names that begin with a verb as the code style requires.
 */
import * as clipanion from 'clipanion';

export const buildText = clipanion.Option.String;
export const buildList = clipanion.Option.Array;
export const buildFlag = clipanion.Option.Boolean;
export const buildRest = clipanion.Option.Rest;
export const buildUsage = clipanion.Command.Usage;
