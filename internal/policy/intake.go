package policy

// Shares of a machine that clients may use.
const (
	// processBytes is what the process needs without any client.
	processBytes = 40 << 20
	// programBytes is what the process has beside the memory of the Go runtime.
	programBytes = 24 << 20
	// heapOverhead is the size of the heap as a multiple of what is in use, between two garbage
	// collections.
	heapOverhead = 2
	// minMemoryDivisor is the least share of a small machine's memory.
	minMemoryDivisor = 8
	// reservedDescriptors are used for files; of the others, one in descriptorDivisor is for
	// clients, the rest for leaves and other daemons.
	reservedDescriptors  = 200
	descriptorDivisor    = 2
	minClientConnections = 16

	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 4096
)

// IntakeLimits bound what all clients together can make a process keep.
type IntakeLimits struct {
	Bytes       int64 // memory for connections, heads, bodies and answers that are not yet sent
	Connections int
}

// NewIntakeLimits returns the limits on a machine with the given memory in bytes and limit on
// descriptors; 0: not known.
func NewIntakeLimits(memory int64, descriptors int) IntakeLimits {
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return IntakeLimits{
		Bytes:       max((memory-processBytes)/heapOverhead, memory/minMemoryDivisor),
		Connections: max((descriptors-reservedDescriptors)/descriptorDivisor, minClientConnections),
	}
}

// GoHeapLimit returns the memory, in bytes, above which the process collects garbage more often; 0:
// none. What is not of the Go runtime, the program's pages above all, comes on top.
func GoHeapLimit(memory int64) int64 {
	if memory <= 0 {
		return 0
	}
	return max(memory-programBytes, memory/2)
}

// IntakeShare is the part of the free bytes that one client may hold, as a divisor.
type IntakeShare int64

const (
	CallerShare IntakeShare = 8
	// OperatorShare is for configurations, which are longer than requests.
	OperatorShare IntakeShare = 2
)

// MayHold reports whether a client that holds held bytes may hold n more while all clients hold
// total. It is a dynamic threshold: the less is free, the less one client may hold.
func (l IntakeLimits) MayHold(held, n, total int64, share IntakeShare) bool {
	free := l.Bytes - total - n
	return free >= 0 && held+n <= free/int64(share)
}

// displacementRatio keeps clients that hold about the same from displacing each other.
const displacementRatio = 2

// MayDisplace reports whether a client that waits, and holds held bytes, is closed for one that
// would hold wanted bytes and doesn't fit. Ordinary requests thus fit beside any clients that hold
// more.
func MayDisplace(wanted, held int64) bool { return held > displacementRatio*wanted }
