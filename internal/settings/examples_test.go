package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// expectedGroup is the expected content of a group of query services in an example: the
// number of services, the leaves of each service, and the slots and connections of each
// leaf.
type expectedGroup struct {
	path                                 string
	services, leaves, slots, connections int
	connectCost                          string
	priority                             Priority
}

func TestExampleFilesDescribeDeployments(t *testing.T) {
	Convey("The example files describe both deployments in full size", t, func() {
		checkExample(t, "bagmati", Coverage, []string{"lalitpur-hall", "sundhara-hall", "bhaktapur-hall"}, []expectedGroup{
			{"kathmandu-valley/counter-desk", 20, 2, 2, 30, "6ms", Urgent},
			{"kathmandu-valley/abroad-inbox", 30, 2, 2, 30, "6ms", Urgent},
			{"kathmandu-valley/legal-pull", 1, 7, 3, 130, "1ms", Ordinary},
			{"kathmandu-valley/billing-ledger", 1, 3, 3, 130, "1ms", Ordinary},
		})
		checkExample(t, "khetbazaar", Tail, []string{"anand-hall", "vadodara-a", "vadodara-b", "kheda-rack"}, []expectedGroup{
			{"gj-west/storefront", 20, 2, 2, 30, "6ms", Urgent},
			{"gj-west/farmer-portal", 30, 2, 2, 30, "6ms", Ordinary},
			{"gj-west/ledger-desk", 1, 4, 4, 50, "1ms", Ordinary},
			{"gj-west/route-plan", 1, 4, 4, 50, "1ms", Urgent},
		})
	})
}

// checkExample checks the goal, the failure domains and the query services of an example
// file.
func checkExample(t *testing.T, name string, goal Goal, domains []string, groups []expectedGroup) {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".yaml"))
	So(err, ShouldBeNil)
	tree, err := ParseFile(text)
	So(err, ShouldBeNil)

	total := 0
	for _, group := range groups {
		services := tree.Services(group.path)
		So(services, ShouldHaveLength, group.services)
		total += len(services)
		for _, path := range services {
			e, _ := tree.Effective(path)
			So(e.Leaves, ShouldHaveLength, group.leaves)
			So(countDomains(e.Leaves), ShouldEqual, min(group.leaves, len(domains)))
			So(e.LeafSlots, ShouldEqual, group.slots)
			So(e.LeafConnections, ShouldEqual, group.connections)
			So(e.ConnectCost.String(), ShouldEqual, group.connectCost)
			So(e.Priority, ShouldEqual, group.priority)
			So(e.Goal, ShouldEqual, goal)
			for _, l := range e.Leaves {
				So(domains, ShouldContain, l.Domain)
				So(strings.HasPrefix(l.Addr, "10."), ShouldBeTrue)
			}
		}
	}
	So(tree.Services(""), ShouldHaveLength, total)
}

// countDomains returns the number of failure domains of leaves.
func countDomains(leaves []Leaf) int {
	seen := map[string]bool{}
	for _, l := range leaves {
		seen[l.Domain] = true
	}
	return len(seen)
}
