package cleanup

// Stack holds the functions that undo what was started; the zero value is empty and ready for use.
type Stack struct {
	undo []func()
}

// Start runs the steps in order and returns the function that undoes them. When a step fails, the ones before it are undone,
// and what the step returned to undo its own part.
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

// Add puts a function on the stack.
func (s *Stack) Add(undo func()) { s.undo = append(s.undo, undo) }

// Run calls the functions, the last one first.
func (s *Stack) Run() {
	for i := len(s.undo) - 1; i >= 0; i-- {
		s.undo[i]()
	}
}
