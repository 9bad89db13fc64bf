package pipeline

import "time"

const (
	// maxRequests is the number of requests of a connection that are read ahead at the same time.
	maxRequests = 8
	// maxReadAhead is the size in bytes of what is read from a connection before net/http reads it.
	maxReadAhead = 16 << 10
	// maxArrivals is the number of requests of a connection that wait and whose times of arrival are kept.
	maxArrivals = 16
	// readSize is the size in bytes of the buffer through which a connection is read ahead.
	readSize = 4 << 10
	// maxHead is the size in bytes of the longest head that is examined; the limit of the platform's configuration is the same.
	maxHead = 16 << 10
	// maxLines is the number of header lines up to which a request is read ahead. A parsed line takes many times its size in memory.
	maxLines = 64
	// reservation is the memory of a connection that reads ahead: the bytes that net/http has not read, with the spare capacity of their
	// buffer, and the heads that are examined.
	reservation = 4 * maxReadAhead
	// maxReservations is the size in bytes of all reservations and of all incomplete heads of a VM.
	maxReservations = 4 << 20
	// maxPrepared is the number of requests of a VM that are read ahead at the same time.
	maxPrepared = 64
	// maxResponse is the size in bytes up to which a response is recorded until its turn; the rest waits in the handler.
	maxResponse = 1 << 20
	// maxResponses is the size in bytes of all recorded responses of a VM.
	maxResponses = 4 << 20
	// hangUpInterval is the time between two checks whether a caller is still there while no more of what it sent can be read. Half a second
	// after a caller left, no server may work on its requests.
	hangUpInterval = 100 * time.Millisecond
	// minReadTime is how long a caller may take at least to read the recorded part of a response.
	minReadTime = 2 * time.Second
	// maxWriteBuffer is the size in bytes of the operating system's buffer for responses to a caller, which would otherwise grow to several
	// megabytes if the caller does not read. Linux doubles it for its own data.
	maxWriteBuffer = 128 << 10
	// lingerTime is how long a connection with unread bytes is read after its last response. Closing it earlier resets it, which can
	// destroy that response. net/http waits equally long.
	lingerTime = 500 * time.Millisecond
	// maxLinger is the size in bytes of what is read meanwhile.
	maxLinger = 256 << 10
	// maxLingering is the number of connections that are read at the same time after their last response. Their descriptors count in no other
	// limit.
	maxLingering = 64
)
