import tap from 'tap';
import * as fakeDisk from '../node/storage/fake-disk.js';
import * as storedVoter from '../scenario/storage/stored-voter.js';

const mebibyte = 1024 * 1024;
const diskBytes = 64 * mebibyte;
const folder = '/data';

async function startVoter(
	disk: fakeDisk.FakeDisk,
): Promise<storedVoter.StoredVoter> {
	const voter = await storedVoter.StoredVoter.start(folder, diskBytes, {
		skipsLock: true,
		fileSystem: disk,
	});
	await voter.startUp();
	return voter;
}

// Guards against a log that keeps each superseded version of a large configuration until the disk is full.
tap.test('changes of the largest size stay below half of a disk', async (t) => {
	const disk = new fakeDisk.FakeDisk(diskBytes);
	const voter = await startVoter(disk);
	const count = 62;
	let version = 0;
	while (version < count && disk.peakBytes <= diskBytes / 2) {
		version++;
		const text = String.fromCodePoint(97 + (version % 26)).repeat(mebibyte);
		t.match(await voter.change(version, text), {type: 'accepted', version});
	}

	t.equal(version, count);
	t.ok(disk.peakBytes <= diskBytes / 2, `${disk.peakBytes} bytes at the peak`);
	t.ok(disk.peakBytes > 2 * mebibyte, 'the changes were stored');
	await voter.close();
	const reopened = await startVoter(disk);
	t.equal(reopened.version, count);
	await reopened.close();
});
