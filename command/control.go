package command

var _ = register("control", "List, add, remove, back up and restore control hosts",
	"The replica id of a control host is created with its data folder; a new folder is a new replica, which joins as a learner and "+
		"becomes a voter after it has caught up.",
	func(e *Env) any {
		return &controlCommand{
			List:    controlList{env: e},
			Add:     controlAdd{env: e},
			Promote: controlPromote{env: e},
			Remove:  controlRemove{env: e},
			Backup:  controlBackup{env: e},
			Restore: controlRestore{env: e},
		}
	})

type controlCommand struct {
	List    controlList    `command:"list" description:"List the control hosts"`
	Add     controlAdd     `command:"add" description:"Add a control host as a learner"`
	Promote controlPromote `command:"promote" description:"Promote a learner that has caught up to voter"`
	Remove  controlRemove  `command:"remove" description:"Remove a control host"`
	Backup  controlBackup  `command:"backup" description:"Write the whole replicated state to a file"`
	Restore controlRestore `command:"restore" description:"Restore a backup into a new cluster without configuration"`
}
