package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// printable is the output of a command: encoded as JSON or written as text.
type printable interface {
	writeText(w io.Writer)
}

func (a *app) print(p printable) error {
	if a.output == outputJSON {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(p), "write output")
	}
	p.writeText(a.out)
	return nil
}

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Error  string           `json:"error"`
	Exit   int              `json:"exit"`
	Faults []contract.Fault `json:"faults,omitempty"`
}

// reportError writes err as text to the error output, or as JSON to the output.
func (a *app) reportError(err error) {
	var faults contract.Faults
	_ = errors.As(err, &faults)
	if a.output == outputJSON {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		_ = enc.Encode(errorOutput{Error: err.Error(), Exit: exitCode(err), Faults: faults})
		return
	}
	fmt.Fprintf(a.errOut, "pearmoor: %s\n", strings.ReplaceAll(err.Error(), "\n", "\n  "))
}

// writeTable writes rows in aligned columns below a header whose columns are separated
// by | or tabs. Without rows it writes nothing.
func writeTable(w io.Writer, header string, rows [][]string) {
	if len(rows) == 0 {
		return
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.ReplaceAll(header, "|", "\t"))
	for _, row := range rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

func formatTime(unixMS int64) string {
	if unixMS == 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).Format(time.DateTime)
}

// plural returns n followed by noun, in the plural unless n is 1.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// truncate returns s cut to maxLength characters, with "..." appended if it was cut.
func truncate(s string, maxLength int) string {
	runes := []rune(s)
	if len(runes) <= maxLength {
		return s
	}
	return string(runes[:maxLength]) + "..."
}
