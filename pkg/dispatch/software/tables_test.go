package software

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A change of a share moves only the streams that it must, and each version gets its share of them.
func TestVersionOfFollowsTheShares(t *testing.T) {
	const n = 20_000
	before := Table{Shares: map[string]int{"a": 24, "b": 8}}
	after := Table{Shares: map[string]int{"a": 24, "b": 8, "c": 8}}
	counts, movedTo := map[string]int{}, map[string]int{}
	for i := range n {
		key := KeyOf("g", fmt.Sprint(i))
		old, ok := before.VersionOf(key)
		require.True(t, ok)
		now, _ := after.VersionOf(key)
		counts[old]++
		if now != old {
			movedTo[now]++
		}
	}
	require.InDelta(t, 0.75, float64(counts["a"])/n, 0.03)
	require.Equal(t, 1, len(movedTo), "streams move to the new version only")
	require.InDelta(t, 0.2, float64(movedTo["c"])/n, 0.03)
	_, ok := Table{Unknown: true, Shares: before.Shares}.VersionOf(1)
	require.False(t, ok)
}

// All VMs of all builds and kinds of machines compute the same version: these results must not change.
func TestVersionOfIsTheSameEverywhere(t *testing.T) {
	table := Table{Shares: map[string]int{"v1": 20, "v1.2": 12}}
	got := ""
	for i := range 24 {
		version, _ := table.VersionOf(KeyOf("assist", fmt.Sprintf("%016x", i)))
		got += version[len(version)-1:]
	}
	require.Equal(t, "122212211122121111211112", got)
}

func TestMovedShares(t *testing.T) {
	for name, test := range map[string]struct {
		a, b  map[string]int
		moved bool
	}{
		"equal":          {map[string]int{"a": 16, "b": 16}, map[string]int{"a": 16, "b": 16}, false},
		"a tenth":        {map[string]int{"a": 16, "b": 16}, map[string]int{"a": 19, "b": 13}, false},
		"a quarter":      {map[string]int{"a": 16, "b": 16}, map[string]int{"a": 24, "b": 8}, true},
		"one appears":    {map[string]int{"a": 32}, map[string]int{"a": 31, "b": 1}, true},
		"one vanishes":   {map[string]int{"a": 31, "b": 1}, map[string]int{"a": 32}, true},
		"one is another": {map[string]int{"a": 32}, map[string]int{"b": 32}, true},
	} {
		require.Equal(t, test.moved, moved(test.a, test.b), name)
	}
	require.Equal(t, map[string]int{"a": 28, "b": 4}, sharesOf(map[string]int{"a": 8, "b": 1}))
	require.Equal(t, map[string]int{"a": 32, "b": 1}, sharesOf(map[string]int{"a": 10_000, "b": 1}))
}

// Rows come from other VMs, maybe of other builds: what cannot be used is refused, not guessed.
func TestMalformedRowsAreRefused(t *testing.T) {
	table := `{"id":"x","seq":1,"shares":{"a":32}}`
	for text, ok := range map[string]bool{
		`{"first":1,"tables":[` + table + `]}`:             true,
		`{"first":1,"tables":[{"id":"x","unknown":true}]}`: true,
		`{"first":1,"tables":[]}`:                          false,
		`{}`:                                               false,
		`[`:                                                false,
		`{"tables":[{"id":"x"}]}`:                          false,
		`{"tables":[{"id":"x","shares":{"a":0}}]}`:            false,
		`{"tables":[{"id":"x","shares":{"a":1000000}}]}`:      false,
		`{"tables":[{"id":"x","shares":{"a":32,"b":-1}}]}`:    false,
		`{"tables":[` + repeat(table, maxTables+1) + `]}`:     false,
		`{"tables":[` + repeat(table, maxTables) + `]}`:       true,
		`{"tables":[{"id":"x","shares":{"a":32},"more":1}]}`:  true,
		`{"tables":[{"id":"x","shares":{"a":1e99,"b":"x"}}]}`: false,
	} {
		_, err := decodeRow([]byte(text))
		require.Equal(t, ok, err == nil, text)
	}
}

func repeat(text string, n int) string {
	all := text
	for range n - 1 {
		all += "," + text
	}
	return all
}

// What the store has lost by returning from an older copy comes back, what had been dropped does not.
func TestMergedRows(t *testing.T) {
	tables := func(first int64, seqs ...int64) row {
		r := row{First: first}
		for _, seq := range seqs {
			r.Tables = append(r.Tables, Table{ID: fmt.Sprint(seq), Seq: seq, Shares: map[string]int{"a": 1}})
		}
		return r
	}
	known := tables(3, 3, 4, 6)
	stored := tables(1, 1, 2, 3, 5)
	merged := stored.merge(known)
	require.Equal(t, tables(3, 3, 4, 5, 6), merged)
	require.True(t, stored.lacks(merged))
	require.Equal(t, merged, merged.merge(known))
	require.False(t, merged.lacks(merged.merge(known)))

	var many row
	for seq := range int64(maxTables + 3) {
		many = many.merge(tables(0, seq))
	}
	require.Len(t, many.Tables, maxTables)
	require.True(t, many.Tables[0].Unknown, "what does not fit in is not forgotten: any version may have begun")
	data, err := json.Marshal(many)
	require.NoError(t, err)
	_, err = decodeRow(data)
	require.NoError(t, err)
}
