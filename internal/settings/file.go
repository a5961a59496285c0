package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"pearmoor/internal/contract"
)

// The keys of a node in a settings file.
const (
	keySettings = "settings"
	keyNodes    = "nodes"
	keyBase     = "base" // allowed at the root only
)

// MaxFileSize is the maximum size in bytes of a file that ParseFile accepts.
const MaxFileSize = 16 << 20

// ParseFile parses a tree from the YAML format that operators keep in version control.
// The error is a contract.Faults with every fault found. ParseFile validates the
// optional base version; FileBaseVersion returns it.
func ParseFile(text []byte) (*Tree, error) {
	body, err := parseYAML(text)
	if err != nil {
		return nil, err
	}
	r := fileReader{}
	r.readNode(Root, 0, body)
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return New().Apply(0, r.edits)
}

// FileBaseVersion returns the version of the tree from which a file was exported, and
// whether the file records one. The error is a contract.Faults.
func FileBaseVersion(text []byte) (version uint64, found bool, err error) {
	body, err := parseYAML(text)
	if err != nil {
		return 0, false, err
	}
	r := fileReader{}
	for _, entry := range r.mappingEntries(Root, body) {
		if keyOf(entry) == keyBase {
			version, found = r.readBase(entry.Value), true
		}
	}
	return version, found, r.faults.ErrOrNil()
}

// parseYAML returns the only document of a file, or a null node if the file is empty.
func parseYAML(text []byte) (ast.Node, error) {
	if len(text) > MaxFileSize {
		return nil, newFileFault("the file is too large", fmt.Sprintf("keep it to %d bytes", MaxFileSize))
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, newFileFault(yaml.FormatError(err, false, false), "write the file as YAML")
	}
	if len(file.Docs) > 1 {
		return nil, newFileFault(fmt.Sprintf("it holds %d documents", len(file.Docs)), "keep one tree in a file")
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return ast.Null(nil), nil
	}
	return file.Docs[0].Body, nil
}

func newFileFault(why, fix string) contract.Faults {
	return contract.Faults{{Field: "file", Why: why, Fix: fix}}
}

// fileReader converts the nodes of a file to edits and collects faults.
type fileReader struct {
	edits  []Edit
	faults contract.Faults
	hidden bool // the value that is read is secret
}

func (r *fileReader) addFault(field, value, why, fix string) {
	if r.hidden {
		value = ""
	}
	r.faults = append(r.faults, contract.Fault{Field: field, Value: value, Why: why, Fix: fix})
}

func (r *fileReader) readNode(path string, depth int, body ast.Node) {
	if depth > MaxDepth {
		r.addFault(path, "", "the node is too deep", fmt.Sprintf("use %d levels at most", MaxDepth))
		return
	}
	for _, entry := range r.mappingEntries(path, body) {
		switch key := keyOf(entry); {
		case key == keySettings:
			r.readSettings(path, entry.Value)
		case key == keyBase && depth == 0:
			r.readBase(entry.Value)
		case key == keyNodes:
			for _, child := range r.mappingEntries(path+":"+keyNodes, entry.Value) {
				r.readChild(path, depth, child)
			}
		default:
			r.addFault(path+":"+key, "", "the key is unknown", "use settings and nodes")
		}
	}
}

// readBase returns the base version of the file, or 0 after adding a fault.
func (r *fileReader) readBase(body ast.Node) uint64 {
	field := Root + ":" + keyBase
	text, ok := r.scalarText(field, body)
	if !ok {
		return 0
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		r.addFault(field, truncateForFault(text), "it is no version", "write the version that export gave, or leave base out")
	}
	return version
}

func (r *fileReader) readChild(path string, depth int, entry *ast.MappingValueNode) {
	name := keyOf(entry)
	if !isSegment(name) {
		r.addFault(path+":"+keyNodes, name, "the name of the node is not well formed", segmentRule)
		return
	}
	r.readNode(joinPath(path, name), depth+1, entry.Value)
}

func (r *fileReader) readSettings(path string, body ast.Node) {
	for _, entry := range r.mappingEntries(path+":"+keySettings, body) {
		name := keyOf(entry)
		r.hidden = isSecret(path, name)
		text, ok := r.valueText(fieldOf(path, name), entry.Value)
		r.hidden = false
		if ok {
			r.edits = append(r.edits, Edit{Path: path, Name: name, Value: text, Op: Set})
		}
	}
}

// mappingEntries returns the entries of a mapping, or nil for a null node. Any other
// node is a fault.
func (r *fileReader) mappingEntries(field string, body ast.Node) []*ast.MappingValueNode {
	switch m := body.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	case *ast.NullNode:
		return nil
	}
	r.addFault(field, truncateForFault(body.GetToken().Value), "it is no mapping", "write keys and values")
	return nil
}

// valueText returns a value in the form used on the command line. A YAML sequence is
// joined with commas, so that a file can list one leaf per line.
func (r *fileReader) valueText(field string, body ast.Node) (string, bool) {
	switch v := body.(type) {
	case *ast.SequenceNode:
		items := make([]string, 0, len(v.Values))
		for _, item := range v.Values {
			text, ok := r.scalarText(field, item)
			if !ok {
				return "", false
			}
			items = append(items, text)
		}
		return strings.Join(items, ","), true
	default:
		return r.scalarText(field, body)
	}
}

// scalarText returns the text of a scalar. Any other node, an anchor or a tag is a
// fault.
func (r *fileReader) scalarText(field string, body ast.Node) (string, bool) {
	switch v := body.(type) {
	case *ast.StringNode:
		return v.Value, true
	case *ast.LiteralNode:
		return v.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return body.GetToken().Value, true
	}
	r.addFault(field, truncateForFault(body.GetToken().Value), "it is no plain value", "write a word, a number or a list of words, without anchors and tags")
	return "", false
}

// keyOf returns the key of a mapping entry as text.
func keyOf(entry *ast.MappingValueNode) string {
	if s, ok := entry.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return strings.TrimSpace(entry.Key.String())
}

// ExportFile returns t in the YAML format that ParseFile reads. The output omits the
// versions that set the values, and settings and values that this release does not
// know.
func (t *Tree) ExportFile() []byte { return marshalYAML(exportNode(t.root, "", false)) }

// ExportFileWithBase returns the output of ExportFile with the additional key base, the
// version of the change that produced t.
func (t *Tree) ExportFileWithBase(base uint64) []byte {
	return marshalYAML(append(yaml.MapSlice{{Key: keyBase, Value: base}}, exportNode(t.root, "", false)...))
}

// ExportRedacted returns the output of ExportFileWithBase with fingerprints in place of
// secret values. ParseFile does not accept fingerprints as keys.
func (t *Tree) ExportRedacted(base uint64) []byte {
	return marshalYAML(append(yaml.MapSlice{{Key: keyBase, Value: base}}, exportNode(t.root, "", true)...))
}

func marshalYAML(file yaml.MapSlice) []byte {
	b, err := yaml.MarshalWithOptions(file, yaml.IndentSequence(true))
	if err != nil {
		// The value holds only strings, numbers, booleans and lists, which always encode.
		panic("settings: export: " + err.Error())
	}
	return b
}

func exportNode(n *node, path string, redacted bool) yaml.MapSlice {
	out := yaml.MapSlice{}
	var values yaml.MapSlice
	for _, a := range n.assignments {
		switch {
		case a.val == nil:
		case redacted && isSecret(path, a.name):
			values = append(values, yaml.MapItem{Key: a.name, Value: displayValue(path, a.name, a.text)})
		default:
			values = append(values, yaml.MapItem{Key: a.name, Value: a.yamlValue()})
		}
	}
	if len(values) > 0 {
		out = append(out, yaml.MapItem{Key: keySettings, Value: values})
	}
	var nodes yaml.MapSlice
	for _, c := range n.children {
		nodes = append(nodes, yaml.MapItem{Key: c.name, Value: exportNode(c, joinPath(path, c.name), redacted)})
	}
	if len(nodes) > 0 {
		out = append(out, yaml.MapItem{Key: keyNodes, Value: nodes})
	}
	return out
}

// yamlValue returns the value as a YAML list, number or boolean, or as a string if the
// other type would not reproduce the text exactly: a text such as 007 must survive a
// round trip.
func (a *assignment) yamlValue() any {
	s, ok := currentSchema.lookup(a.name)
	if len(a.val.leaves) > 0 || len(a.val.names) > 0 || ok && s.Kind == KeyList {
		return strings.Split(a.text, ",")
	}
	if n, err := strconv.ParseInt(a.text, 10, 64); err == nil && strconv.FormatInt(n, 10) == a.text {
		return n
	}
	if f, err := strconv.ParseFloat(a.text, 64); err == nil && strconv.FormatFloat(f, 'f', -1, 64) == a.text {
		return f
	}
	if b, err := strconv.ParseBool(a.text); err == nil && strconv.FormatBool(b) == a.text {
		return b
	}
	return a.text
}
