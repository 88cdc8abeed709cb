package claim

// explore visits every reachable state and returns their number and the first
// violation found, or "" if there is none.
func explore[S comparable](start S, next func(S, func(S)), check func(S) string) (states int, violation string) {
	seen := map[S]struct{}{start: {}}
	queue := []S{start}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if violation = check(s); violation != "" {
			return len(seen), violation
		}
		next(s, func(t S) {
			if _, ok := seen[t]; ok {
				return
			}
			seen[t] = struct{}{}
			queue = append(queue, t)
		})
	}
	return len(seen), ""
}
