package main

// start runs the steps in order and returns the function that undoes them in the reverse order. When a step fails, the
// ones before it are undone.
func start(steps ...func() (func(), error)) (func(), error) {
	var cleanups []func()
	stop := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	for _, step := range steps {
		cleanup, err := step()
		if err != nil {
			stop()
			return nil, err
		}
		cleanups = append(cleanups, cleanup)
	}
	return stop, nil
}
