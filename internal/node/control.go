package node

import "github.com/amaranthshelf/amaranthshelf/internal/control"

// startControl joins the control group. A system of one VM is its own group.
func (n *Node) startControl() {
	n.machine = control.NewMachine()
	n.control = control.NewSolo(n.machine)
}
