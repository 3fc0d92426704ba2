package check

import (
	"slices"
	"time"
)

// crowdedAt reports whether idle clients used up an agent's descriptors at a time, or had disconnected less than
// MaxStallTime before.
func (c *checker) crowdedAt(agent int, at time.Duration) bool {
	crowded := false
	for _, e := range c.crowds[agent] {
		switch {
		case e.Kind == CrowdBegan && e.At <= at:
			crowded = true
		case e.Kind == CrowdEnded && e.At+c.rules.MaxStallTime <= at:
			crowded = false
		}
	}
	return crowded
}

// countRequest counts a request under the names in Counts that apply.
func (c *checker) countRequest(sent Event) {
	if sent.Class == "search" || sent.Class == "modify" {
		c.exercised(DirectoryRequests)
		if sent.First {
			c.exercised(FirstRequests)
		}
	}
	if serving, stoppedAt := c.servingAt(sent.Agent, sent.At); !serving && stoppedAt > 0 {
		c.exercised(SentInDrain)
	}
}

// servingAt reports whether an agent's process was ready at a time and had received no signal to end. stoppedAt is the
// time of its SIGTERM if that is the latest change of its state, and otherwise 0.
func (c *checker) servingAt(agent int, at time.Duration) (serving bool, stoppedAt time.Duration) {
	handedOver := map[int]bool{}
	for _, e := range c.agents[agent] {
		if e.At > at {
			break
		}
		switch e.Kind {
		case ProcessReady:
			serving, stoppedAt = e.Note == "", 0
		case ProcessHandedOver:
			handedOver[e.Process] = true
		case ProcessTerminated:
			if serving || stoppedAt == 0 {
				stoppedAt = e.At
			}
			serving = false
		case ProcessStarted:
			if !handedOver[e.Process-1] {
				serving, stoppedAt = false, 0
			}
		case ProcessKilled:
			serving, stoppedAt = false, 0
		case ProcessExited:
			if !handedOver[e.Process] {
				serving, stoppedAt = false, 0
			}
		}
	}
	return serving, stoppedAt
}

// checkConnections checks that an agent accepts its clients' connections while it serves and for a while after
// SIGTERM, since clients are notified late of a planned restart.
func (c *checker) checkConnections() {
	for _, agent := range sortedAgents(c.crowds) {
		for _, e := range c.crowds[agent] {
			if e.Kind == CrowdBegan {
				c.exercised(Crowds)
			}
		}
	}
	for _, e := range c.connections {
		serving, stoppedAt := c.servingAt(e.Agent, e.At)
		after := e.At - stoppedAt
		owed := serving || stoppedAt > 0 && after < c.rules.MinAcceptTime-c.rules.Slack
		switch {
		case !owed || c.crowdedAt(e.Agent, e.At) || c.killedWithin(e.Agent, e.At-c.rules.Slack, e.At+c.rules.MinAcceptTime):
			continue
		case e.Kind == ConnectionMade && !serving:
			c.exercised(MadeInDrain)
			c.exercised(ConnectedIsRead)
		case e.Kind == ConnectionMade:
			c.exercised(ConnectedIsRead)
		case serving:
			c.violated(ConnectedIsRead, e.At, e.Agent, "", "", "%s while it serves: %s", e.Kind, e.Note)
		default:
			c.violated(ConnectedIsRead, e.At, e.Agent, "", "", "%s %v after SIGTERM: %s", e.Kind, after, e.Note)
		}
	}
}

func sortedAgents(m map[int][]Event) []int {
	agents := make([]int, 0, len(m))
	for n := range m {
		agents = append(agents, n)
	}
	slices.Sort(agents)
	return agents
}
