#ifndef COWSLIPLOAD_SLOPES_H
#define COWSLIPLOAD_SLOPES_H

/* "cowslipload slopes": fits the control cost of an instance.  */
int ld_slopes (int argc, char **argv);

#endif
