// Takes the place of optional native addons in the bundle; packages that use one fall back to JavaScript.
throw new Error("native addon not included");
