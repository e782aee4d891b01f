// Takes the place of optional native packages in the bundle; their users fall back to JavaScript.
throw new Error("native part not included");
