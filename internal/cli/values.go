package cli

import (
	"strconv"
	"strings"
)

// commaList is the value of a flag that takes a comma-separated list.
type commaList []string

// Set implements kingpin.Value; a second use of the flag adds to the first.
func (l *commaList) Set(text string) error {
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			*l = append(*l, item)
		}
	}
	return nil
}

// String implements kingpin.Value.
func (l *commaList) String() string { return strings.Join(*l, ",") }

// IsCumulative lets the flag be given more than once.
func (l *commaList) IsCumulative() bool { return true }

// optionalUint is the value of a flag for which 0 differs from unset.
type optionalUint struct {
	value uint64
	isSet bool
}

// Set implements kingpin.Value.
func (o *optionalUint) Set(text string) error {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return err
	}
	o.value, o.isSet = n, true
	return nil
}

// String implements kingpin.Value.
func (o *optionalUint) String() string {
	if !o.isSet {
		return ""
	}
	return strconv.FormatUint(o.value, 10)
}
