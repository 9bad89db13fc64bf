package detector

// tally counts trials and hits, of which the older ones fade.
type tally struct {
	trials float64
	hits   float64
}

const fade = 0.99

func (t *tally) add(hit bool) {
	t.trials = t.trials*fade + 1
	t.hits *= fade
	if hit {
		t.hits++
	}
}

// group is a tally for each server.
type group map[int]*tally

func (g group) of(server int) *tally {
	t := g[server]
	if t == nil {
		t = &tally{}
		g[server] = t
	}
	return t
}

// others adds up the tallies of all servers but one.
func (g group) others(server int) tally {
	var sum tally
	for i, t := range g {
		if i != server {
			sum.trials += t.trials
			sum.hits += t.hits
		}
	}
	return sum
}

// rate estimates the share of hits, drawn towards a prior that counts as many trials as weight.
func (t tally) rate(prior, weight float64) float64 {
	return (t.hits + prior*weight) / (t.trials + weight)
}
