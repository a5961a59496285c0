package settings

import (
	_ "embed"
	"io"
	"strings"
	"text/template"
)

//go:embed reference.md.tmpl
var referenceTemplateText string

var referenceTemplate = template.Must(template.New("reference").Funcs(template.FuncMap{
	"join":  strings.Join,
	"where": placement,
	"limit": allowedValues,
}).Parse(referenceTemplateText))

// conflict is a rejected combination of settings on the reference page.
type conflict struct {
	Names []string
	Why   string
	Fix   string
}

// WriteReference writes the reference page of all settings, generated from the schema.
func WriteReference(w io.Writer) error {
	page := struct {
		Settings       []Setting
		Contradictions []conflict
		MaxDepth       int
		MaxLeaves      int
	}{Settings: Schema(), MaxDepth: MaxDepth, MaxLeaves: MaxLeaves}
	for _, r := range conflictRules {
		page.Contradictions = append(page.Contradictions, conflict{Names: r.names, Why: r.why, Fix: r.fix})
	}
	return referenceTemplate.Execute(w, page)
}

// placement describes the nodes at which a setting may be set.
func placement(s Setting) string {
	switch {
	case s.RootOnly:
		return "at the root only; it holds for the whole tier"
	case s.Inherits:
		return "at any node; nodes below take it unless they state their own"
	}
	return "at a query service; it is not inherited"
}

// allowedValues describes the values that a setting accepts.
func allowedValues(s Setting) string {
	switch {
	case len(s.Choices) > 0:
		return strings.Join(s.Choices, " or ")
	case s.Min != "":
		return s.Min + " to " + s.Max
	}
	return s.Unit
}
