package daemon

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
)

func validConfig() Config {
	return Config{
		Name: "entry-1", Domain: "lalitpur-hall", Region: "kathmandu-valley", ServeCallers: true,
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0",
		PlaintextPeers: true, ControlAddrs: []string{"127.0.0.1:7401"},
		PlatformInterval: time.Second, SyncInterval: time.Second, RelayThreshold: 64, RelayFanout: 8,
	}
}

// Validate must report all invalid settings at once, each with its flag and a fix, so
// that an operator need not restart the daemon once for each of them.
func TestValidateListsEveryFault(t *testing.T) {
	Convey("Given a valid configuration", t, func() {
		c := validConfig()
		So(c.Validate(), ShouldBeNil)

		Convey("several invalid settings are all listed", func() {
			c.Name, c.Domain, c.PeerListen, c.RelayFanout = "", "a/b", "nowhere", 0
			faults, ok := c.Validate().(contract.Faults)
			So(ok, ShouldBeTrue)
			var fields []string
			for _, f := range faults {
				fields = append(fields, f.Field)
				So(f.Why, ShouldNotBeEmpty)
				So(f.Fix, ShouldNotBeEmpty)
			}
			So(strings.Join(fields, " "), ShouldEqual, "--name --domain --peer-listen --relay-fanout")
		})
		Convey("plain text is rejected on an address that is not loopback", func() {
			c.PeerListen = "10.0.0.5:7401"
			So(c.Validate().Error(), ShouldContainSubstring, "not a loopback address")
		})
		Convey("a wildcard listen address needs an advertised address", func() {
			c.CallerListen = "0.0.0.0:7400"
			So(c.Validate().Error(), ShouldContainSubstring, "--caller-url")
		})
		Convey("without plain text every TLS file is required", func() {
			c.PlaintextPeers = false
			for _, flag := range []string{"--peer-ca", "--peer-cert", "--peer-key"} {
				So(c.Validate().Error(), ShouldContainSubstring, flag)
			}
		})
		Convey("a control VM requires a data directory and its own id among the initial voters", func() {
			c.ControlID, c.Bootstrap, c.BootstrapVoters = 1, true, []string{"2=127.0.0.1:7401", "2=127.0.0.1:7402", "x"}
			text := c.Validate().Error()
			So(text, ShouldContainSubstring, "--data-dir")
			So(text, ShouldContainSubstring, "repeats an id")
			So(text, ShouldContainSubstring, "has no '='")
			So(text, ShouldContainSubstring, "does not name this VM's own --control-id")
		})
	})
}
