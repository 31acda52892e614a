package cleanup

// Stack is a stack of cleanup functions; the zero value is empty and ready for use.
type Stack struct {
	undo []func()
}

// Start runs the steps in order and returns a function that undoes them in reverse order. Each step returns its cleanup
// function, which may be nil, and an error. If a step fails, Start calls the cleanup functions returned so far,
// including that of the failed step, and returns the error.
func Start(steps ...func() (func(), error)) (func(), error) {
	var s Stack
	for _, step := range steps {
		undo, err := step()
		if undo != nil {
			s.Add(undo)
		}
		if err != nil {
			s.Run()
			return nil, err
		}
	}
	return s.Run, nil
}

// Add pushes a cleanup function on the stack.
func (s *Stack) Add(undo func()) { s.undo = append(s.undo, undo) }

// Run calls the cleanup functions in the reverse order of their addition; they remain on the stack.
func (s *Stack) Run() {
	for i := len(s.undo) - 1; i >= 0; i-- {
		s.undo[i]()
	}
}
