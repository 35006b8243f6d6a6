package gate

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that gets instances of one zone only and has none left when it is lost, and
// against an instance that is named twice.
func TestNamedInstancesAreSpread(t *testing.T) {
	for range 100 {
		var addresses []string
		for i := range 4 * maxAddresses { // sorted by zone
			addresses = append(addresses, fmt.Sprintf("10.%d.0.%d:80", 1+i/(2*maxAddresses), i%(2*maxAddresses)))
		}
		named := limitAddresses(addresses)
		require.Len(t, named, maxAddresses)
		zones := make(map[string]int)
		for _, a := range named {
			zones[a[:4]]++
		}
		require.Len(t, zones, 2)
		slices.Sort(named)
		require.Len(t, slices.Compact(named), maxAddresses)
	}
}
