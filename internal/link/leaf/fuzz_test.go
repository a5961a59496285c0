package leaf

import (
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

func FuzzReply(f *testing.F) {
	f.Add([]byte(`{"id":"1","attempt":1,"service":"/s","shard":3,"index_version":7,"hits":[{"id":"h","score":1,"data":{}}]}`))
	f.Add([]byte(`{"hits":[null]}`))
	f.Add([]byte(`null`))
	f.Add([]byte(``))
	q := request("1")
	f.Fuzz(func(t *testing.T, body []byte) {
		out := classifyReply(body, q)
		switch {
		case out.reply != nil && (out.err != nil || !out.reply.Matches(q)):
			t.Fatal("a reply that does not match the request was accepted")
		case out.reply == nil && (out.err == nil || out.err.Verdict != contract.MayHaveRun):
			t.Fatal("a rejected reply must have the verdict MayHaveRun")
		}
	})
}

func FuzzStatus(f *testing.F) {
	f.Add([]byte(`{"name":"a","state":"serving","in_flight":1,"slots":2,"indexes":[{"service":"/s","version":7,"shards":4,"held":[0,3]}]}`))
	f.Add([]byte(`{"state":"draining","indexes":[{"service":"/s","version":1,"shards":4294967295,"held":[4294967295]}]}`))
	f.Add([]byte(`{"state":"starting","in_flight":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		st, err := parseStatus(body)
		if err != nil {
			return
		}
		r := leafReport{leaf: settings.Leaf{Name: "a"}, status: &st, live: true}
		for _, s := range snapshots("/s", []leafReport{r, r}) {
			if s.Shards == 0 || s.Shards > maxShards || len(s.LeavesByShard) != int(s.Shards) {
				t.Fatalf("snapshot has %d shards and %d leaf lists", s.Shards, len(s.LeavesByShard))
			}
		}
	})
}

func FuzzPlatform(f *testing.F) {
	f.Add([]byte(`[{"name":"vm","addr":"10.0.0.1","domain":"d","leaving":true}]`))
	f.Add([]byte(`[{"leaving":true}]`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		vms, err := parsePlatformList(body)
		if err != nil {
			return
		}
		if leavingVMs(vms)[""] {
			t.Fatal("a VM without name and address matches every leaf without them")
		}
	})
}

func FuzzRetryAfter(f *testing.F) {
	for _, v := range []string{"", "0", "120", "-1", "99999999999999999999", "Fri, 31 Dec 1999 23:59:59 GMT", "Fri, 31 Dec 9999 23:59:59 GMT", "soon"} {
		f.Add(v)
	}
	now := time.Unix(1_800_000_000, 0)
	f.Fuzz(func(t *testing.T, v string) {
		if d := parseRetryAfter(v, now); d < 0 || d > maxRetryAfter {
			t.Fatalf("%q gave %v", v, d)
		}
	})
}
