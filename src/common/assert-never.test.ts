import tap from 'tap';
import {assertNever} from './assert-never.js';

// Guards against a variant that is silently ignored at run time.
tap.test('assertNever throws an error that names the variant', async (t) => {
	t.throws(() => assertNever('left' as never), /unhandled variant: "left"/v);
});
