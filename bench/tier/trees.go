package tier

import (
	"fmt"
	"strings"
)

// DeskSpec describes a desk, a node of the settings tree, with identical query services below it.
type DeskSpec struct {
	Path             string // one or more segments
	Services         int
	LeavesPerService int
	Settings         map[string]string
}

// Domains are the failure domains of the experiments.
var Domains = []string{"lalitpur-hall", "sundhara-hall", "bhaktapur-hall"}

// DeskTree returns a settings tree with one desk as YAML, with the given settings
// at the root. pearmoor-standin replaces the placeholder addresses of the leaves.
func DeskTree(s DeskSpec, root map[string]string) string {
	var b strings.Builder
	writeSettings(&b, 0, root)
	b.WriteString("nodes:\n")
	fmt.Fprintf(&b, "  %s:\n", s.Path)
	writeSettings(&b, 2, s.Settings)
	b.WriteString("    nodes:\n")
	for i := range s.Services {
		fmt.Fprintf(&b, "      %s:\n        settings:\n          leaves:\n", ServiceName(i))
		for l := range s.LeavesPerService {
			domain := Domains[(i+l)%len(Domains)]
			fmt.Fprintf(&b, "            - %s-%d=10.%d.%d.%d:9000@%s\n", ServiceName(i), l+1, i/250+1, i%250+1, l+1, domain)
		}
	}
	return b.String()
}

// ServiceName returns the last path segment of service i of a desk.
func ServiceName(i int) string { return fmt.Sprintf("service-%02d", i+1) }

func writeSettings(b *strings.Builder, depth int, values map[string]string) {
	if len(values) == 0 {
		return
	}
	indent := strings.Repeat("  ", depth)
	fmt.Fprintf(b, "%ssettings:\n", indent)
	for name, value := range values {
		fmt.Fprintf(b, "%s  %s: %s\n", indent, name, value)
	}
}
