// Package custody accounts for the memory and the connections that an instance holds for its clients, and closes the connections of slow
// clients when they run short.
package custody
