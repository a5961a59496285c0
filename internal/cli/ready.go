package cli

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// maxReadinessBytes limits the body of a readiness response.
const maxReadinessBytes = 64 << 10

// readiness is the output of the ready command.
type readiness struct {
	Ready bool   `json:"ready"`
	Text  string `json:"text"`
}

func (a *app) declareReady(k *kingpin.Application) {
	var addr string
	c := k.Command("ready", `Ask a daemon's operator port whether it takes work; exit 0 if it does.

Example: pearmoor ready --operator=127.0.0.1:7402`)
	c.Flag("operator", "host:port of the operator port.").Default("127.0.0.1:7402").StringVar(&addr)
	c.Action(func(*kingpin.ParseContext) error { return a.checkReady(addr) })
}

func (a *app) checkReady(addr string) error {
	req, err := http.NewRequestWithContext(a.ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: a.timeout}
	resp, err := client.Do(req)
	if err != nil {
		return &exitError{code: ExitUnreachable, cause: errors.Wrap(err, "the daemon does not answer")}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReadinessBytes))
	if err != nil {
		return &exitError{code: ExitUnreachable, cause: err}
	}
	out := &readiness{Ready: resp.StatusCode == http.StatusOK, Text: strings.TrimSpace(string(text))}
	if err := a.print(out); err != nil {
		return err
	}
	if !out.Ready {
		return exitErrorf(ExitFailed, "%s takes no work", addr)
	}
	return nil
}

func (r *readiness) writeText(w io.Writer) { fmt.Fprintln(w, r.Text) }
