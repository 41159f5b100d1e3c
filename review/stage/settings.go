package stage

import (
	_ "embed" // for configTemplate
	"fmt"
	"strconv"
	"strings"
	"time"

	"threadrun/internal/testserver"
)

// configTemplate is the configuration of a router in a small deployment: one branch, one trunk, and the use cases and
// rules of the first brief.
//
//go:embed config.json
var configTemplate string

func millis(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }

// Limits are the limits that the platform's configuration states.
type Limits struct{ MemoryMB, Sockets int }

// linkKBPerSecond is the bandwidth of the link into the branch.
const linkKBPerSecond = 90000

// Configuration returns the configuration of a router of the deployment, as StartRouter needs it.
func (d *Deployment) Configuration(limits Limits) func(listen string) string {
	return func(listen string) string {
		return strings.NewReplacer(
			"LISTEN", listen,
			"MEMORY", strconv.Itoa(limits.MemoryMB),
			"SOCKETS", strconv.Itoa(limits.Sockets),
			"DISCOVERY", d.Discovery.Address(),
			"KNOWN", d.Discovery.InitialEvents(),
			"LINK", strconv.Itoa(linkKBPerSecond),
		).Replace(configTemplate)
	}
}

// Fields returns the fields of a client's request for a part of an object.
func Fields(trace uint64, object string, part int, timeout time.Duration, sizeKB float64) map[string]string {
	fields := testserver.RequestParams(trace, object, timeout)
	fields["piece"] = strconv.Itoa(part)
	fields["size"] = fmt.Sprint(sizeKB)
	return fields
}
