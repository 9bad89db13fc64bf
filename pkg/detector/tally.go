package detector

// tally counts trials and hits with exponential decay. A trial is a request, a hit one that failed or was slow.
type tally struct {
	trials float64
	hits   float64
}

// decayFactor scales the earlier counts with each new trial.
const decayFactor = 0.99

func (t *tally) add(hit bool) {
	t.trials = t.trials*decayFactor + 1
	t.hits *= decayFactor
	if hit {
		t.hits++
	}
}

// serverTallies holds a tally for each server.
type serverTallies map[int]*tally

func (st serverTallies) forServer(server int) *tally {
	t := st[server]
	if t == nil {
		t = &tally{}
		st[server] = t
	}
	return t
}

// sumExcept adds up the tallies of all servers but one.
func (st serverTallies) sumExcept(server int) tally {
	var sum tally
	for i, t := range st {
		if i != server {
			sum.trials += t.trials
			sum.hits += t.hits
		}
	}
	return sum
}

// rate estimates the share of hits. The share prior counts as much as the given number of trials, weight.
func (t tally) rate(prior, weight float64) float64 {
	return (t.hits + prior*weight) / (t.trials + weight)
}
