package sharedread

import "time"

const (
	// minSharedHosts is the number of hosts from which reads are shared. With fewer, the two
	// readers of each failure domain are about half of the hosts, so sharing saves little.
	minSharedHosts = 16
	// keepSharedHosts is the number of hosts below which sharing ends. It is lower than
	// minSharedHosts, so that a few hosts that leave and return do not change how all read.
	keepSharedHosts = 12
	// minReaders is the number of readers of a failure domain: one may fail at any moment.
	minReaders = 2
	// followersPerReader bounds the load of one reader: 64 hosts take about 0.5 Mbit/s of its
	// link of 10 Mbit/s.
	followersPerReader = 64
	// successorsAsked is the number of hosts after the readers in the ranking that are asked
	// when no reader answers.
	successorsAsked = 1
	// slowLinkMbps is the rate of a link, in Mbit/s, below which a host is a reader only if
	// there are no others: 3,000 targets take 7 Mbit/s.
	slowLinkMbps = 50

	// holdTime is how long a reader holds a call without a change. It bounds the time until a
	// host notices that its reader is frozen.
	holdTime = 500 * time.Millisecond
	// callMargin is added to holdTime for the request and the answer.
	callMargin = 300 * time.Millisecond
	// copyTimeout bounds the time without data while a copy of the table is transferred. A reader
	// sends it after maxCopyTurnWait at the latest; with readers of earlier releases 59 copies at
	// once share a link of 10 Mbit/s, so that the first 16 KB of each take 0.8 s.
	copyTimeout = 1500 * time.Millisecond
	// maxCopyTime bounds a transfer of a copy that arrives slowly.
	maxCopyTime = 8 * time.Second
	// maxAge is the greatest age of a reader's confirmation by the store with which its answers
	// are used. A change must be in force within 3 s; the rest is for asking another reader.
	// A reader that receives 3,000 targets at 10 Mbit/s confirms its copy every 1.8 s.
	maxAge = 2 * time.Second
	// readerWait is how long a reader's feed call waits for a change. It is short, because a
	// table without changes is confirmed only once per call.
	readerWait = 500 * time.Millisecond
	// followPause is the time between two calls of a reader. It bounds the rate of calls when
	// the content of the table changes continuously.
	followPause = 20 * time.Millisecond

	// askedTTL is how long a host reads the store after it was asked for changes. It is longer
	// than any pause between two calls of a host that goes on asking.
	askedTTL = 5 * time.Second
	// minBackoff and maxBackoff bound the time for which a host that has failed is not asked.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// startBackoff is the same while a host or its reader has no copy, the reader has not read
	// the table since the store has returned from an older copy, or sends copies to many others:
	// it will answer soon.
	startBackoff = 150 * time.Millisecond
	// unknownMethodBackoff is the same for a host of an earlier release.
	unknownMethodBackoff = time.Minute
	// fallbackSpread is the longest random time before a host reads the store because no reader
	// answers: all hosts of a failure domain may notice that at once.
	fallbackSpread = 300 * time.Millisecond

	// membershipWait is the longest time for which a started process waits for other hosts to
	// announce themselves before it reads the store itself. Hosts read the host rows for the
	// second time after 200 ms; a small fleet must not be ready much later than before.
	membershipWait = 500 * time.Millisecond
	// firstCopyWait is how long a host without a copy asks readers before it reads the store
	// itself, and firstCopySpread the longest random time that is added. Together they leave
	// most of the 12 s within which a fleet must serve after all its processes were killed.
	firstCopyWait   = 1500 * time.Millisecond
	firstCopySpread = 1500 * time.Millisecond
	// busyCopyWait is how much longer such a host asks while readers are busy with copies for
	// others. 37 copies of 3,000 targets take two readers 2.9 s at 10 Mbit/s; a fleet must serve
	// within 12 s.
	busyCopyWait = 4 * time.Second
	// copyWait is how long a host that needs another copy asks readers before it reads the store
	// itself, fallbackSpread at most added: readers need some 400 ms to read a table again after
	// the store has returned from an older copy, and all hosts need a copy then.
	copyWait = 700 * time.Millisecond
	// startPoll is the time between two looks at the membership, or two rounds of asking
	// readers, while a host has no copy.
	startPoll = 25 * time.Millisecond

	// membersInterval is the time between two looks at the membership afterwards.
	membersInterval = time.Second
	// removedTTL is how long a reader remembers deleted rows. A host that was without a reader
	// for longer asks for a copy of the table.
	removedTTL = time.Minute
	// compressedRows is the number of rows from which an answer is compressed.
	compressedRows = 16
	// maxDecompressedBytes bounds the decompressed rows of an answer, in bytes. It is the limit
	// of a message between hosts.
	maxDecompressedBytes = 16 << 20
)
