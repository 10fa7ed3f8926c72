package platform

// A table service that fails may return from a copy of itself that is some seconds old. The writes since then are lost
// although they were acknowledged, and their versions are assigned again. Each return begins a new generation of the service.
//
// Versions and feed positions contain the generation in which they were read, in their upper bits. So they increase across
// generations too, and a version of one generation never equals one of another. A row that a return leaves unchanged has another
// version after it.

const (
	// counterBits is the number of the lower bits of a version that hold the service's own counter.
	counterBits = 40
	// MaxCounter is the largest counter, and MaxGeneration the largest generation, that fit into a version.
	MaxCounter    = 1<<counterBits - 1
	MaxGeneration = 1<<(64-counterBits) - 1
)

// VersionIn returns the version for the counter of a table service, read in the given generation.
func VersionIn(generation, counter uint64) uint64 { return generation<<counterBits | counter }

// GenerationOf returns the generation in which a version was read.
func GenerationOf(version uint64) uint64 { return version >> counterBits }

// CounterOf returns the table service's own counter in a version.
func CounterOf(version uint64) uint64 { return version & MaxCounter }
