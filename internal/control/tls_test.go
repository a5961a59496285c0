package control

import (
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

// issueCertificate issues a certificate for id and returns a Reloader, which provides the
// TLS settings of clients and servers that use it.
func issueCertificate(t *testing.T, authority *peer.Authority, dir string, id peer.Identity) *peer.Reloader {
	t.Helper()
	f := peer.Files{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, id.Name+".pem"),
		Key:  filepath.Join(dir, id.Name+"-key.pem"),
	}
	if err := authority.Issue(id, []string{"127.0.0.1"}, time.Hour, f.Cert, f.Key); err != nil {
		t.Fatal(err)
	}
	r, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// An operator may state another name in the request, and an entry VM's certificate may be
// stolen. The audit trail must record the name in the operator's certificate, and a VM's
// certificate must not be accepted for changes.
func TestAuditTrailRecordsCertificateName(t *testing.T) {
	t.Parallel()
	Convey("Given a control VM that requires client certificates", t, func() {
		dir := t.TempDir()
		authority, err := peer.NewAuthority(time.Hour)
		So(err, ShouldBeNil)
		So(authority.Save(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca-key.pem")), ShouldBeNil)
		vmCert := issueCertificate(t, authority, dir, peer.Identity{Name: "ctl-1", Kind: peer.VM})
		operator := issueCertificate(t, authority, dir, peer.Identity{Name: "asha", Kind: peer.Operator})
		v := startVMWith(t, Config{ID: 1, Name: "ctl-1", DataDir: t.TempDir(), Bootstrap: true}, listen(t, "127.0.0.1:0"), vmCert.ServerConfig())
		Reset(func() { v.cancel() })
		eventually(t, "it leads", v.isLeader)

		Convey("an operator is recorded under the name in the certificate, regardless of the request", func() {
			c := dialWith(t, v, operator.ClientConfig())
			req := changeRequest("a", 0, "daemon-lease", "10s")
			req.Operator = "somebody-else"
			r, err := c.control().Change(callCtx(t), req)
			So(err, ShouldBeNil)
			So(r.Version, ShouldEqual, 1)
			audit, err := c.control().Audit(callCtx(t), &wire.AuditRequest{})
			So(err, ShouldBeNil)
			So(audit.Records[0].Operator, ShouldEqual, "asha")
			So(audit.Records[0].Unauthenticated, ShouldBeFalse)
			_, err = c.spread().Sync(callCtx(t), &wire.SyncRequest{})
			So(err, ShouldNotBeNil)
		})

		Convey("a VM's certificate is accepted for Sync but not for changes", func() {
			c := dialWith(t, v, vmCert.ClientConfig())
			_, err := c.control().Change(callCtx(t), changeRequest("a", 0, "daemon-lease", "10s"))
			So(err, ShouldNotBeNil)
			So(v.node.stateView().version, ShouldEqual, 0)
			s, err := c.spread().Sync(callCtx(t), &wire.SyncRequest{})
			So(err, ShouldBeNil)
			So(s.Granted, ShouldBeTrue)
		})

		Convey("a VM's certificate can neither renew nor end another VM's lease", func() {
			c := dialWith(t, v, vmCert.ClientConfig())
			for name, ok := range map[string]bool{"ctl-1": true, "entry-9": false} {
				_, err := c.spread().Sync(callCtx(t), &wire.SyncRequest{Heartbeats: []*wire.Heartbeat{
					{Vm: serving(name, 1)}, {Vm: serving("child", 1)},
				}})
				So(err == nil, ShouldEqual, ok)
			}
			So(v.node.daemons.Len(), ShouldEqual, 2)
		})
	})
}
