/** Version printed by `teaselspool --version`. */
export const VERSION = "0.1.0";
