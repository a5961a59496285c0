package control

import (
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"),
		goleak.IgnoreTopFunction("k8s.io/klog/v2.(*flushDaemon).run.func1"),
	)
}
