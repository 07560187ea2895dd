package command

var _ = register("config", "Check, change and follow the fleet's configuration",
	"A configuration is a folder with base.ini and, for each site that differs, an overlay SITE.ini. "+
		"A change names the version that it replaces; a rollback creates a new version.",
	func(e *Env) any {
		return &configCommand{
			Check:    configCheck{env: e},
			Show:     configShow{env: e},
			Diff:     configDiff{env: e},
			Apply:    configApply{env: e},
			Status:   configStatus{env: e},
			History:  configHistory{env: e},
			Rollback: configRollback{env: e},
		}
	})

type configCommand struct {
	Check    configCheck    `command:"check" description:"Check a configuration without a control host"`
	Show     configShow     `command:"show" description:"Print a version"`
	Diff     configDiff     `command:"diff" description:"Show what a configuration would change"`
	Apply    configApply    `command:"apply" description:"Apply a configuration"`
	Status   configStatus   `command:"status" description:"Show each site's version and who is behind"`
	History  configHistory  `command:"history" description:"List versions, newest first"`
	Rollback configRollback `command:"rollback" description:"Apply the content of an earlier version"`
}

// folderArg is the positional argument for a configuration folder.
type folderArg struct {
	Folder string `positional-arg-name:"folder" required:"yes" description:"Folder with base.ini and overlays SITE.ini"`
}
