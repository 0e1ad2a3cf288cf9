package watchstream

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// layerRank returns a scope's rank in the merge order; higher ranks are merged over lower ones.
func layerRank(key string) int {
	return slices.IndexFunc(scopePrefixes, func(s string) bool { return strings.HasPrefix(key, s) })
}

// LayerError reports a layer that cannot be merged.
type LayerError struct {
	Key     string
	Version uint64
	Err     error
}

// Error returns the layer and the cause.
func (e *LayerError) Error() string {
	return fmt.Sprintf("configuration %q of version %d can't be merged: %v; put another one", e.Key, e.Version, e.Err)
}

// Unwrap returns the cause.
func (e *LayerError) Unwrap() error { return e.Err }

// MergeLayers merges the layers of one initiator's configuration by JSON merge patch (RFC 7396): shared,
// then region, zone and instance. Without layers the result is {}.
func MergeLayers(records []Record) (json.RawMessage, error) {
	list := slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return r.Kind != Config || r.Deleted })
	slices.SortStableFunc(list, func(a, b Record) int { return cmp.Compare(layerRank(a.Key), layerRank(b.Key)) })
	merged := []byte("{}")
	for i, r := range list {
		if i > 0 && layerRank(r.Key) == layerRank(list[i-1].Key) {
			return nil, &LayerError{r.Key, r.Version, fmt.Errorf("there is %q beside it", list[i-1].Key)}
		}
		var err error
		if merged, err = jsonpatch.MergePatch(merged, r.Value); err != nil {
			return nil, &LayerError{r.Key, r.Version, err}
		}
	}
	return merged, nil
}
