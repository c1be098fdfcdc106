package coordinator

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/director"
	"bergamothollow.example/bergamothollow/pkg/localizer"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// lineLength is the number of peers in the succession that all instances know: those that read the store or may do so as substitutes.
const lineLength = storeReaders + maxSubstitutes

// listMembers returns the instances known to this one that callers may use.
func (c *Coordinator) listMembers() []Member {
	if c.convener.Role() == convener.Leading {
		return c.chooseMembers()
	}
	var list []Member
	if c.ready() && (len(c.members) == 0 || c.listed()) {
		list = append(list, c.options.Self)
	}
	for _, m := range c.members {
		if m.Name != c.options.Self.Name && m.Name != c.lostLeader {
			list = append(list, m)
		}
	}
	return list
}

// listed reports whether the leader has told callers to use this instance.
func (c *Coordinator) listed() bool {
	return slices.ContainsFunc(c.members, func(m Member) bool { return m.Name == c.options.Self.Name })
}

// chooseMembers returns the instances that callers should use, of those that are ready and known to this leader.
func (c *Coordinator) chooseMembers() []Member {
	var ready []Member
	fleetCores := c.options.Self.Cores
	if c.ready() {
		ready = append(ready, c.options.Self)
	}
	for l := range c.followers {
		fleetCores += l.member.Cores
		if l.ready {
			ready = append(ready, l.member)
		}
	}
	if c.options.Clock.Now().Before(c.previousMembersUntil) {
		ready = c.addPreviousMembers(ready)
	}
	candidates := make([]director.Candidate, 0, len(ready))
	for _, m := range ready {
		candidates = append(candidates, director.Candidate{
			Name:       m.Name,
			DataCentre: m.DataCentre,
			Cores:      m.Cores,
		})
	}
	chosen := director.Choose(candidates, fleetCores, c.usage.peak, c.options.Director)
	list := slices.DeleteFunc(ready, func(m Member) bool { return !chosen[m.Name] })
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// LocalMembers returns the instances that callers in a data centre use: those of theirs, if these are enough. While a data centre is
// evacuated, callers are spread over all, so that the calls that it can't take are, too.
func LocalMembers(v *View, d namer.DataCentre) []Member {
	if len(v.Catalogue.Evacuated) > 0 {
		return v.Members
	}
	entries := make([]localizer.Entry, 0, len(v.Members))
	for _, m := range v.Members {
		entries = append(entries, localizer.Entry{
			DataCentre: m.DataCentre,
			Cores:      m.Cores,
		})
	}
	local := make([]Member, 0, len(v.Members))
	for _, i := range localizer.Local(entries, d, slices.Contains(v.Crowded, d)) {
		local = append(local, v.Members[i])
	}
	return local
}

// findCrowded updates, at a leader, in which data centres the listed instances have too little processor capacity left.
func (c *Coordinator) findCrowded() {
	capacities := map[namer.DataCentre]localizer.Capacity{}
	for l := range c.followers {
		if l.listedAt.IsZero() {
			continue
		}
		capacity := capacities[l.member.DataCentre]
		capacity.Cores += l.member.Cores
		capacity.Used += l.used
		capacities[l.member.DataCentre] = capacity
	}
	crowded := localizer.Crowded(c.crowded, capacities)
	if slices.Equal(crowded, c.crowded) {
		return
	}
	c.crowded = crowded
	c.viewOutdated = true
	c.options.Log.Info().Strs("data_centres", dataCentreNames(crowded)).Msg("localizer: data centres whose callers use instances elsewhere, too")
}

func dataCentreNames(list []namer.DataCentre) []string {
	names := make([]string, 0, len(list))
	for _, d := range list {
		names = append(names, string(d))
	}
	return names
}

// addPreviousMembers adds members that the previous leader announced and that haven't joined yet.
func (c *Coordinator) addPreviousMembers(list []Member) []Member {
	for _, m := range c.members {
		known := slices.ContainsFunc(list, func(k Member) bool { return k.Instance == m.Instance })
		if !known && m.Name != c.options.Self.Name && m.Name != c.lostLeader {
			list = append(list, m)
		}
	}
	return list
}

// membersInterval is the minimum interval between member lists; it batches changes, since many instances join one by one
// when a deployment starts.
const membersInterval = 150 * time.Millisecond

// sendMembers sends the member list to all followers if it has changed, and otherwise to those that have joined since.
func (c *Coordinator) sendMembers(now time.Time) {
	if c.convener.Role() != convener.Leading || !c.membersChanged || now.Sub(c.membersSentAt) < membersInterval {
		return
	}
	c.membersChanged = false
	c.membersSentAt = now
	message := membersMessage{
		Members:   c.View().Members,
		Line:      c.successionOrder(),
		Instances: len(c.followers) + 1,
		Crowded:   c.crowded,
	}
	if c.encodedMembers == nil || c.differs(message) {
		encoded, err := json.Marshal(message)
		if err != nil {
			c.options.Log.Error().Err(err).Msg("coordinator: failed to encode the members")
			return
		}
		c.sentMembers, c.encodedMembers = message, encoded
		c.rank = 0
		c.updateFollowers(now, message)
	}
	for l := range c.followers {
		if !l.hasMembers {
			l.hasMembers = true
			l.notify(methodMembers, c.encodedMembers)
		}
	}
}

// instancesTolerance is the part by which the number of instances may change before all followers are told.
const instancesTolerance = 0.1

// differs reports whether a member list differs from the last one sent so that followers need it.
func (c *Coordinator) differs(m membersMessage) bool {
	changed := float64(m.Instances - c.sentMembers.Instances)
	return !slices.Equal(m.Members, c.sentMembers.Members) || !slices.Equal(m.Line, c.sentMembers.Line) ||
		!slices.Equal(m.Crowded, c.sentMembers.Crowded) ||
		max(changed, -changed) > instancesTolerance*float64(c.sentMembers.Instances)
}

// updateFollowers records what a new member list says of each follower.
func (c *Coordinator) updateFollowers(now time.Time, m membersMessage) {
	listed := make(map[string]bool, len(m.Members))
	for _, member := range m.Members {
		listed[member.Name] = true
	}
	for l := range c.followers {
		l.hasMembers = false
		l.rank = rankIn(m.Line, l.member.Name)
		switch {
		case !listed[l.member.Name]:
			l.listedAt = time.Time{}
		case l.listedAt.IsZero():
			l.listedAt = now
		}
	}
}

// successionOrder returns this leader and its first followers in order of succession: strong ones first.
func (c *Coordinator) successionOrder() []convener.Peer {
	followers := make([]Member, 0, len(c.followers))
	for l := range c.followers {
		followers = append(followers, l.member)
	}
	slices.SortFunc(followers, func(a, b Member) int {
		if a.Strong != b.Strong {
			if a.Strong {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	line := []convener.Peer{c.self()}
	for _, f := range followers[:min(len(followers), lineLength-1)] {
		line = append(line, convener.Peer{
			Name:    f.Name,
			Address: f.Peers,
		})
	}
	return line
}

// rankIn returns the rank of an instance in the succession, lineLength if it isn't among the first.
func rankIn(line []convener.Peer, name string) int {
	rank := slices.IndexFunc(line, func(p convener.Peer) bool { return p.Name == name })
	if rank < 0 {
		return lineLength
	}
	return rank
}
