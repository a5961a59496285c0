package settings

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/units"
	"github.com/cockroachdb/errors"
)

// Kind is the type of a setting's value.
type Kind uint8

// The kinds.
const (
	Count    Kind = iota // a whole number without a unit
	Ratio                // a decimal number such as 0.03
	Duration             // a number with unit ns, us, ms, s, m or h
	Bytes                // a number with unit B, KiB, MiB or GiB
	Bool                 // true or false
	Choice               // one of the setting's Choices
	LeafList             // name=ip:port@domain, separated by commas
	NameList             // names, separated by commas
	Text                 // any text of one line
	KeyList              // API keys, separated by commas
)

var kindNames = [...]string{"count", "ratio", "duration", "bytes", "bool", "choice", "leaf list", "name list", "text", "key list"}

// String returns the name of the kind on the reference page.
func (k Kind) String() string { return kindNames[k] }

// maxNumberLen limits the length in bytes of a number with its unit, to prevent an
// overflow of int64.
const maxNumberLen = 24

// maxRatioLen limits the length in bytes of a ratio. It holds every finite float64: the
// smallest have 324 digits after the point before their first 17 significant ones.
const maxRatioLen = 400

func (s *Setting) maxNumberLen() int {
	if s.Kind == Ratio {
		return maxRatioLen
	}
	return maxNumberLen
}

// maxTextLen limits the length of a text in bytes. The longest text is the order of the
// organisations: 100,000 names of 30 bytes take 3 MB. A whole change has 8 MB at most.
const maxTextLen = 4 << 20

// value is a parsed value. The kind of the setting determines which field is used.
type value struct {
	text    string // canonical form
	integer int64  // count, nanoseconds, bytes, 0 or 1, index of the choice
	ratio   float64
	leaves  []Leaf
	names   []string
}

func (v *value) duration() time.Duration { return time.Duration(v.integer) }

// parse parses text as a value of s and normalizes it, so that different spellings of a
// value yield the same text.
func (s *Setting) parse(text string) (*value, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return nil, errors.New("the value is empty")
	}
	v, err := s.parseByKind(text)
	if err != nil {
		return nil, err
	}
	if s.min != nil && s.less(v, s.min) {
		return nil, errors.Newf("it is below the least value, %s", s.Min)
	}
	if s.max != nil && s.less(s.max, v) {
		return nil, errors.Newf("it is above the greatest value, %s", s.Max)
	}
	return v, nil
}

func (s *Setting) less(a, b *value) bool {
	if s.Kind == Ratio {
		return a.ratio < b.ratio
	}
	return a.integer < b.integer
}

func (s *Setting) parseByKind(text string) (*value, error) {
	switch s.Kind {
	case LeafList:
		return parseLeafList(text)
	case NameList:
		names, err := parseNameList(text)
		return &value{text: strings.Join(names, ","), names: names}, err
	case Choice:
		return s.parseChoice(text)
	case Bool:
		return parseBool(text)
	case Text:
		return parseText(text)
	case KeyList:
		return parseKeyList(text)
	}
	if len(text) > s.maxNumberLen() {
		return nil, errors.New("the number is too long")
	}
	return s.parseNumber(text)
}

func (s *Setting) parseNumber(text string) (*value, error) {
	switch s.Kind {
	case Count:
		return parseCount(text)
	case Ratio:
		return parseRatio(text)
	case Duration:
		return parseDuration(text)
	default:
		return parseBytes(text)
	}
}

func (s *Setting) parseChoice(text string) (*value, error) {
	i := slices.Index(s.Choices, text)
	if i < 0 {
		return nil, errors.Newf("it is none of %s", strings.Join(s.Choices, ", "))
	}
	return &value{text: text, integer: int64(i)}, nil
}

func parseText(text string) (*value, error) {
	if len(text) > maxTextLen {
		return nil, errors.Newf("the text is longer than %d bytes", maxTextLen)
	}
	if strings.ContainsAny(text, "\r\n\x00") {
		return nil, errors.New("the text has a line break or a zero byte")
	}
	return &value{text: text}, nil
}

func parseBool(text string) (*value, error) {
	switch text {
	case "true":
		return &value{text: text, integer: 1}, nil
	case "false":
		return &value{text: text}, nil
	}
	return nil, errors.New("it is neither true nor false")
}

func parseCount(text string) (*value, error) {
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return nil, errors.New("it is not a whole number without a unit")
	}
	return &value{text: strconv.FormatInt(n, 10), integer: n}, nil
}

func parseRatio(text string) (*value, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return nil, errors.New("it is not a plain number such as 0.03")
	}
	f += 0 // -0 becomes 0
	return &value{text: strconv.FormatFloat(f, 'f', -1, 64), ratio: f}, nil
}

func parseDuration(text string) (*value, error) {
	if _, err := strconv.ParseFloat(text, 64); err == nil && text != "0" {
		return nil, errors.New("it has no unit; ns, us, ms, s, m and h are units")
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return nil, errors.New("it is not a duration such as 20ms, 1.5s or 2m")
	}
	return &value{text: formatDuration(d), integer: int64(d)}, nil
}

// formatDuration formats d like time.Duration.String, without trailing zero units: 2m
// instead of 2m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func parseBytes(text string) (*value, error) {
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return nil, errors.New("it has no unit; B, KiB, MiB and GiB are units")
	}
	n, err := units.ParseStrictBytes(text)
	if err != nil {
		return nil, errors.New("it is not a size such as 64KiB or 1MiB")
	}
	return &value{text: formatBytes(n), integer: n}, nil
}

// formatBytes formats n in the largest unit that divides it.
func formatBytes(n int64) string {
	for _, u := range []struct {
		size units.Base2Bytes
		name string
	}{{units.GiB, "GiB"}, {units.MiB, "MiB"}, {units.KiB, "KiB"}} {
		if n != 0 && n%int64(u.size) == 0 {
			return strconv.FormatInt(n/int64(u.size), 10) + u.name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}
