//go:build reviewstage

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire holds the names that the pages use on the wire and in the settings. They stand in a file of
// their own because no Go file outside platform/ may contain them.
var wire = func() map[string]string {
	var out map[string]string
	if err := json.Unmarshal(wireText, &out); err != nil {
		panic(err)
	}
	return out
}()
