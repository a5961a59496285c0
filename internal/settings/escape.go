package settings

import (
	"net/url"
	"strings"
)

// reservedChars are the separators of lists and the characters that a text setting
// strips or rejects.
const reservedChars = ",=%\r\n\x00 \t"

// EscapeItem returns a text in the form used for an item of a list. A text with a reserved
// character is query-escaped and gets the prefix %; others are unchanged. A text setting
// strips blanks of any alphabet at both ends, so a text that has some is escaped as well.
func EscapeItem(text string) string {
	if !strings.ContainsAny(text, reservedChars) && strings.TrimSpace(text) == text {
		return text
	}
	return "%" + url.QueryEscape(text)
}

// UnescapeItem reverses EscapeItem. Its error may contain a part of the item.
func UnescapeItem(item string) (string, error) {
	if !strings.HasPrefix(item, "%") {
		return item, nil
	}
	return url.QueryUnescape(item[1:])
}
