//go:build review

package main

import (
	"fmt"
	"time"
)

// drainTime is drainMs.
const drainTime = 2 * time.Second

var zones = []string{"arusha-a", "arusha-b", "arusha-c"}

// bookingConfig has a non-idempotent route without keys.
const bookingConfig = `{"version":1,"routes":[{"name":"book","host":"house","pathPrefix":"/book/","routeType":"non_idempotent","timeoutMs":3000,
"targetLatencyMs":300,"priority":0,"service":"desk","maxAttempts":1,"anonymous":true,"sessionAffinity":false,"streamResume":false}],
"services":[{"name":"desk","healthPath":"/healthz","maxConnections":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// upstreamEntry returns the entry by which a replica of a service registers itself.
func upstreamEntry(service, address, state string, sequence int, born int64) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"arusha-a","version":"v1","capacity":64,"state":%q,"warmupLeftMs":0,"sequence":%d,"born":%d}`,
		service, address, state, sequence, born)
}
