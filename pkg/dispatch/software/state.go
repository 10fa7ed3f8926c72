package software

import (
	"slices"
	"strings"
	"time"
)

// GroupState describes the software versions of a group as this VM knows them.
type GroupState struct {
	Group string `json:"group"`
	// Versions are the listed versions with the slots that accept requests.
	Versions []string `json:"versions"`
	// Tables are the tables of shares, oldest first; none while the group has one version.
	Tables []string `json:"tables"`
	// Age is how old the knowledge of the tables may be.
	Age string `json:"age"`
	// Streams is the number of streams that this VM remembers.
	Streams int `json:"streams"`
}

// State describes the groups with resumable streams.
func (k *Keeper) State() []GroupState {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	streams := map[string]int{}
	for _, s := range k.memory.streams {
		streams[s.group]++
	}
	var list []GroupState
	for name, g := range k.groups {
		if _, relevant := k.cfg.Life(name); relevant {
			list = append(list, GroupState{
				Group: name, Versions: describeShares(g.slots), Tables: g.describe(), Age: g.age(now).Round(time.Millisecond).String(), Streams: streams[name],
			})
		}
	}
	slices.SortFunc(list, func(a, b GroupState) int { return strings.Compare(a.Group, b.Group) })
	return list
}
