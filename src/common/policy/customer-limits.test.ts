import tap from 'tap';
import type * as ids from '../ids.js';
import * as template from '../template/parse.js';
import * as customerLimits from './customer-limits.js';

const [sanna, ruby] = ['sanna', 'ruby'] as ids.MemberId[];

function setTemplate(
	limits: customerLimits.CustomerLimits,
	member: ids.MemberId,
	text: string,
): void {
	const {customers} = template.parseTemplate(text)._unsafeUnwrap();
	limits.setMember(member, customers?.values() ?? []);
}

function listLimits(limits: customerLimits.CustomerLimits) {
	return [...limits.getLimits().values()].map(({customer, ratePerS, burst}) => [
		customer,
		ratePerS,
		burst,
	]);
}

// Guards against a default that is no limit, and against a burst that limits a customer without a rate.
tap.test('customers with a rate are limited', async (t) => {
	const limits = new customerLimits.CustomerLimits();
	setTemplate(
		limits,
		sanna,
		'[customer a]\nrate_per_s = 10\n[customer b]\nburst = 5\n[customer c]\nrate_per_s = 4\nburst = 0\n[customer d]\n',
	);
	t.same(listLimits(limits), [
		['a', 10, 10],
		['c', 4, 0],
	]);
});

// Guards against a limit that another template widens, and against one that depends on the order in which
// templates arrive.
tap.test('the lowest of several templates holds', async (t) => {
	const texts = [
		[sanna, '[customer a]\nrate_per_s = 100\nburst = 10\n'],
		[ruby, '[customer a]\nrate_per_s = 50\nburst = 500\n'],
		['auob' as ids.MemberId, '[customer a]\n'],
	] as const;
	for (const order of [texts, texts.toReversed()]) {
		const limits = new customerLimits.CustomerLimits();
		for (const [member, text] of order) {
			setTemplate(limits, member, text);
		}

		t.same(listLimits(limits), [['a', 50, 10]]);
	}
});

// Guards against limits that outlive the template which named them.
tap.test('a changed template replaces its limits', async (t) => {
	const limits = new customerLimits.CustomerLimits();
	setTemplate(limits, sanna, '[customer a]\nrate_per_s = 100\n');
	setTemplate(limits, ruby, '[customer a]\nrate_per_s = 50\n');
	t.same(listLimits(limits), [['a', 50, 50]]);
	setTemplate(limits, ruby, '[customer a]\nrate_per_s = 200\n');
	t.same(listLimits(limits), [['a', 100, 100]]);
	setTemplate(limits, sanna, '[customer a]\n');
	t.same(listLimits(limits), [['a', 200, 200]]);
	setTemplate(limits, ruby, '');
	t.same(listLimits(limits), []);
});
